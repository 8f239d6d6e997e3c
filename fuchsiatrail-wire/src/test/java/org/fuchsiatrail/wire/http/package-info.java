/** Tests. */
package org.fuchsiatrail.wire.http;
