// Package fleet defines the immutable Configuration that operators declare: the
// services, failure domains, client accounts, targets and groups.
//
// The package validates a configuration and describes how to fix each fault. It
// parses and prints no format; an adapter does that.
package fleet
