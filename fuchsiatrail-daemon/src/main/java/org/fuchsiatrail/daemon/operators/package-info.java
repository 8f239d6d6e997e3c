/** Serving operators over HTTP. */
package org.fuchsiatrail.daemon.operators;
