/** Keeps which engine holds which prefix. */
package org.fuchsiatrail.internal.directory;
