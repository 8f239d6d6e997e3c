/** The commands of the command line. */
package org.fuchsiatrail.daemon.command;
