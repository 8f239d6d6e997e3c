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

/** Draws measured figures over load as PNG files. */
final class Plots {

    private static final int WIDTH = 800;
    private static final int HEIGHT = 500;

    private Plots() {}

    static void overLoad(
            Path file,
            String title,
            String unit,
            Map<String, Map<Integer, Outcome>> outcomes,
            ToDoubleFunction<Outcome> value)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("load, % of capacity")
                .yAxisTitle(unit)
                .build();
        outcomes.forEach((name, byLoad) -> {
            List<Double> loads = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            byLoad.forEach((load, outcome) -> {
                loads.add(load.doubleValue());
                values.add(value.applyAsDouble(outcome));
            });
            chart.addSeries(name, loads, values);
        });
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
