/**
 * Forwarding of opaque HTTP calls: routes by host and path prefix, upstreams that register themselves in the store, and
 * the inputs and outputs between the forwarding core and the network code.
 */
package org.fuchsiatrail.forwarding;
