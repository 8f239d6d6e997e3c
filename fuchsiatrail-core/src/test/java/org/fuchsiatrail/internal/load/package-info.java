/** Tests of the model of upstreams and of the decisions that place requests by it. */
package org.fuchsiatrail.internal.load;
