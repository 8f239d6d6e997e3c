/** Decides who a caller is and what it may use. */
package org.fuchsiatrail.internal.access;
