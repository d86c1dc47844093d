package org.trefoilbarrow.benchmarks;

import com.google.common.collect.Maps;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes plots as images. */
final class Plots {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 500;
  private static final int TICKS = 5;

  private Plots() {}

  /** Writes the percentiles of histograms of times in microseconds. */
  static void percentiles(Path file, String title, Map<String, Histogram> histograms)
      throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    histograms.forEach((name, histogram) -> data.addSeries(series(name, histogram)));
    write(file, title, "percentile", "milliseconds", data);
  }

  /** Writes the percentiles of the times to the first byte, by the name of the load. */
  static void firstBytes(Path file, String title, Map<String, StreamTimes> times)
      throws IOException {
    percentiles(file, title, Maps.transformValues(times, own -> own.firstByteMicros));
  }

  /** Writes several series as lines over a common axis. */
  static void lines(
      Path file, String title, String horizontal, String vertical, XYSeriesCollection data)
      throws IOException {
    write(file, title, horizontal, vertical, data);
  }

  private static XYSeries series(String name, Histogram histogram) {
    XYSeries series = new XYSeries(name);
    for (HistogramIterationValue value : histogram.percentiles(TICKS)) {
      double percentile = Math.min(value.getPercentileLevelIteratedTo(), 99.99);
      series.addOrUpdate(percentile, value.getValueIteratedTo() / Percentiles.MICROS_IN_MILLI);
    }
    return series;
  }

  private static void write(
      Path file, String title, String horizontal, String vertical, XYSeriesCollection data)
      throws IOException {
    System.setProperty("java.awt.headless", "true");
    JFreeChart chart = ChartFactory.createXYLineChart(title, horizontal, vertical, data);
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    System.out.printf("plot: %s%n", file);
  }
}
