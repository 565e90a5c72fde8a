// Package abuse holds specs with misbehaving clients. They start processes of the
// system with small limits on loopback addresses and check that these stay alive,
// within their memory and their descriptors, and serve ordinary callers.
package abuse
