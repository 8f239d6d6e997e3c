/** The HTTP server for callers: chat requests and calls of plain services. */
package org.fuchsiatrail.daemon.callers;
