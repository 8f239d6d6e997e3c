/** An example of a program that embeds a router. */
package org.fuchsiatrail.examples;
