/** Authentication of customers and their permissions. */
package org.fuchsiatrail.internal.access;
