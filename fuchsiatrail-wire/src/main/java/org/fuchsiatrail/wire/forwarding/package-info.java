/** The network side of forwarding: callers' connections, upstream connections, and the loop that drives the core. */
package org.fuchsiatrail.wire.forwarding;
