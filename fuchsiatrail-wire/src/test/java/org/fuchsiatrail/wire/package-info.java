/** Tests. */
package org.fuchsiatrail.wire;
