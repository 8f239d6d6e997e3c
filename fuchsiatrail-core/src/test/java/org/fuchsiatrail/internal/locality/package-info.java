/** Tests of when a request leaves the failure domain of its router. */
package org.fuchsiatrail.internal.locality;
