// Package route defines the Book, the immutable routing configuration that
// operators publish: the routes that select a service, the services, the client
// accounts with their keys, and the limits on requests.
//
// The package parses no format; an adapter builds the Book.
package route
