/** Tests. */
package org.fuchsiatrail.wire.memory;
