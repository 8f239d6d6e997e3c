/** The router as a process. */
package org.fuchsiatrail.daemon;
