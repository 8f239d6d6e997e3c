/** Model of the speed of upstreams, and the decisions that place requests by it. */
package org.fuchsiatrail.internal.load;
