/** The command line. */
package org.fuchsiatrail.daemon.command;
