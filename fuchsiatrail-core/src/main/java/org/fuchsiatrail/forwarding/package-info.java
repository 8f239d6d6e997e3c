/**
 * Forwarding of opaque HTTP calls: routes by host and path prefix, upstreams that announce themselves in the store, and
 * the messages between the decisions and the network.
 */
package org.fuchsiatrail.forwarding;
