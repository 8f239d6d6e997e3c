/** When a request leaves the failure domain of its router, and how many do. */
package org.fuchsiatrail.internal.locality;
