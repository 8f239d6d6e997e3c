/** Serving HTTP through Netty. */
package org.fuchsiatrail.wire.http;
