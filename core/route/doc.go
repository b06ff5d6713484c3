// Package route defines the Book, the immutable configuration of requests that
// operators publish: the routes that select a service, the services, the client
// accounts with their keys, and the limits.
//
// The package parses no format; an adapter builds the Book.
package route
