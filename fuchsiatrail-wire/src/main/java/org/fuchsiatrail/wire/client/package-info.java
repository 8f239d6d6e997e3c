/** HTTP clients of engines, services and the platform's key-value store, built on AsyncHttpClient. */
package org.fuchsiatrail.wire.client;
