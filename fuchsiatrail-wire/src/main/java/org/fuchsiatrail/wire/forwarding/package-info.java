/** Network I/O of forwarding: exchanges with callers, attempts at upstreams, and the loop that drives the core. */
package org.fuchsiatrail.wire.forwarding;
