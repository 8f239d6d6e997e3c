/** Tests of the directory package. */
package org.fuchsiatrail.internal.directory;
