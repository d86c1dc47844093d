/**
 * Which changes of watched collections hosts have read, so that a host whose watch missed one finds
 * out.
 */
package org.trefoilbarrow.coordination.watch;
