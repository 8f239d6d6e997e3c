/** Tests. */
package org.fuchsiatrail.wire.observe;
