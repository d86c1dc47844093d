/**
 * Identifiers, stored records and error kinds. Depends on no other layer.
 *
 * <p>Read first, in this order: {@link org.trefoilbarrow.protocol.ErrorKind}, the kinds of errors;
 * {@link org.trefoilbarrow.protocol.JobManifest} and {@link
 * org.trefoilbarrow.protocol.SegmentState}, the records of a batch job in the platform.
 */
package org.trefoilbarrow.protocol;
