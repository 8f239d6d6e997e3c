/** Tests of the decisions about lost paths and dark upstreams. */
package org.fuchsiatrail.internal.paths;
