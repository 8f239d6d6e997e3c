/** Serialization of the core's messages as JSON and MessagePack, and the clock that the core is driven by. */
package org.fuchsiatrail.wire;
