/** The HTTP/1.1 server, built on Netty. */
package org.fuchsiatrail.wire.http;
