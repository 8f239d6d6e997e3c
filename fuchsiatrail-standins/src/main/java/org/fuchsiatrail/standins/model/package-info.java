/** The behaviour of the stand-ins, on a time that is handed in. */
package org.fuchsiatrail.standins.model;
