// Package route holds what operators declare of requests: the routes that
// select a service, the services, and the client accounts with their keys, as
// one immutable Book.
//
// It reads no format; an adapter builds a Book from what operators publish.
package route
