/** Calling engines, services and the platform's store through AsyncHttpClient. */
package org.fuchsiatrail.wire.client;
