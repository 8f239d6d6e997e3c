/** Directory of the prompt prefixes that engines hold in their caches. */
package org.fuchsiatrail.internal.directory;
