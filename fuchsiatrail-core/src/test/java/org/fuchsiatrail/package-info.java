/** Tests of the public surface. */
package org.fuchsiatrail;
