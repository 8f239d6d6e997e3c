package org.fuchsiatrail.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes line charts of a metric against load as PNG files. */
final class Plots {

    private static final int WIDTH_PIXELS = 800;
    private static final int HEIGHT_PIXELS = 500;

    private Plots() {}

    static void plotByLoad(
            Path file,
            String title,
            String unit,
            Map<String, Map<Integer, RunMetrics>> metrics,
            ToDoubleFunction<RunMetrics> value)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle("load, % of capacity")
                .yAxisTitle(unit)
                .build();
        metrics.forEach((name, byLoad) -> {
            List<Double> loads = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            byLoad.forEach((load, runMetrics) -> {
                loads.add(load.doubleValue());
                values.add(value.applyAsDouble(runMetrics));
            });
            chart.addSeries(name, loads, values);
        });
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
