/** Models of an engine and of the store; the caller passes in the current time. */
package org.fuchsiatrail.standins.model;
