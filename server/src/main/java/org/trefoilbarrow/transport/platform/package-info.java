/**
 * The client of the platform's object service over HTTP, and the tasks that keep this host's tables
 * up to date with its collections.
 *
 * <p>Read first {@link org.trefoilbarrow.transport.platform.HttpPlatform}, then {@link
 * org.trefoilbarrow.transport.platform.CollectionWatcher} and {@link
 * org.trefoilbarrow.transport.platform.ShareAgent}.
 */
package org.trefoilbarrow.transport.platform;
