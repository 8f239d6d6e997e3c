/** Wires the systems together behind the tick seam. */
package org.fuchsiatrail.internal.router;
