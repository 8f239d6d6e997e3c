/** Router core, which connects the systems behind the tick interface. */
package org.fuchsiatrail.internal.router;
