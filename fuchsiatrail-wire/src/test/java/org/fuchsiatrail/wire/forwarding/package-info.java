/** Tests. */
package org.fuchsiatrail.wire.forwarding;
