/**
 * Benchmarks of whole processes against the stand-ins. Each prints a table and writes plots.
 *
 * <p>Read first, in this order: {@link org.trefoilbarrow.benchmarks.BenchmarkMain}, which runs a
 * benchmark by its name; {@code OpenLoop}, which generates load.
 */
package org.trefoilbarrow.benchmarks;
