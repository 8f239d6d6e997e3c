/** The written forms of the core's messages, in JSON and in MessagePack. */
package org.fuchsiatrail.wire;
