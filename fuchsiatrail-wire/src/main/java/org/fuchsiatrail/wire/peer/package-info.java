/** The protocol between routers: length-framed MessagePack over TCP. */
package org.fuchsiatrail.wire.peer;
