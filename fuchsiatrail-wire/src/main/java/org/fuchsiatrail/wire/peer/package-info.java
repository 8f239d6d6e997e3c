/** The protocol between routers: length-prefixed MessagePack frames over TCP, authenticated by a shared secret. */
package org.fuchsiatrail.wire.peer;
