// Package ingress guards HTTP listeners against callers that send or hold more than a
// process can take. It bounds the heads and bodies of requests, the time that they may take,
// the memory of all of them together and the number of connections.
//
// net/http serves the connections. The guard sits between an accepted connection and
// net/http: it counts the bytes of each head before net/http parses them, and it learns from
// http.Server.ConnState and the start of the handler which phase a connection is in.
// core/intake decides who may hold how much.
//
// A refusal that the guard writes means that the request has not run and never will: net/http
// never gets the rest of its head.
package ingress
