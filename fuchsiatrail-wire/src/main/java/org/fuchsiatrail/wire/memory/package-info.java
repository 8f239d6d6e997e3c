/** The budget of bytes that a process keeps for its callers and upstreams. */
package org.fuchsiatrail.wire.memory;
