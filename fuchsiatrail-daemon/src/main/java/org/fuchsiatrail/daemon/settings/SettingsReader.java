package org.fuchsiatrail.daemon.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Reads a settings file and finds every fault in it, with its line. */
public final class SettingsReader {

    private static final int SHORTEST_SECRET = 16;
    private static final String ADDRESS = "[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}";

    private final Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
    private final Map<SettingKey, Integer> lines = new EnumMap<>(SettingKey.class);
    private final List<SettingsFault> faults = new ArrayList<>();
    private final Set<String> seen = new HashSet<>();

    private SettingsReader() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or every fault
     */
    public static SettingsResult read(Path file) {
        try {
            return read(Files.readString(file));
        } catch (IOException e) {
            return new SettingsResult.Invalid(List.of(new SettingsFault(
                    0,
                    file.toString(),
                    "the file cannot be read",
                    "a readable file",
                    "Check the path and its rights.")));
        }
    }

    /**
     * Reads a text.
     *
     * @param yaml the text of a settings file
     * @return the settings, or every fault
     */
    public static SettingsResult read(String yaml) {
        SettingsReader reader = new SettingsReader();
        reader.parse(yaml);
        reader.resolveFile(SettingKey.ROUTER_SECRET, SettingKey.ROUTER_SECRET_FILE);
        reader.resolveFile(SettingKey.OPERATORS_TOKEN, SettingKey.OPERATORS_TOKEN_FILE);
        reader.checkMissing();
        reader.checkPair(SettingKey.CALLERS_TLS_CERTIFICATE, SettingKey.CALLERS_TLS_KEY);
        reader.checkPair(SettingKey.OPERATORS_TLS_CERTIFICATE, SettingKey.OPERATORS_TLS_KEY);
        return reader.faults.isEmpty()
                ? new SettingsResult.Valid(new Settings(reader.values))
                : new SettingsResult.Invalid(List.copyOf(reader.faults));
    }

    private void parse(String yaml) {
        try {
            Node root = new Yaml(new LoaderOptions()).compose(new StringReader(yaml));
            if (root instanceof MappingNode mapping) {
                walk("", mapping);
            } else {
                fault(1, "the file", "no mapping of keys", "sections such as router:", "Start from an example.");
            }
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            fault(line, "the file", e.getProblem(), "well-formed YAML", "Correct the line; check its indentation.");
        } catch (YAMLException e) {
            fault(0, "the file", e.getMessage(), "well-formed YAML", "Correct the file.");
        }
    }

    private void walk(String prefix, MappingNode mapping) {
        for (NodeTuple entry : mapping.getValue()) {
            String name = entry.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
            String path = prefix.isEmpty() ? name : prefix + "." + name;
            int line = entry.getKeyNode().getStartMark().getLine() + 1;
            if (!seen.add(path)) {
                fault(line, path, "the key stands twice", "each key once", "Remove one of the two.");
            }
            Node value = entry.getValueNode();
            if (value instanceof MappingNode section && isSection(path)) {
                walk(path, section);
            } else {
                take(path, line, value);
            }
        }
    }

    private static boolean isSection(String path) {
        for (SettingKey key : SettingKey.values()) {
            if (key.path().startsWith(path + ".")) {
                return true;
            }
        }
        return false;
    }

    private void take(String path, int line, Node value) {
        SettingKey key = SettingKey.of(path).orElse(null);
        if (key == null) {
            fault(
                    line,
                    path,
                    "the key is unknown",
                    "one of the keys in docs/SETTINGS.md",
                    "Remove it, or " + nearest(path));
            return;
        }
        lines.put(key, line);
        String text = text(value);
        if (text == null) {
            fault(line, path, "not a single value", key.expected(), "Give it one value.");
            return;
        }
        check(key, line, text);
    }

    private static String text(Node value) {
        if (value instanceof ScalarNode scalar) {
            return scalar.getValue();
        }
        if (value instanceof SequenceNode sequence) {
            return sequence.getValue().stream()
                    .map(item -> item instanceof ScalarNode scalar ? scalar.getValue() : "?")
                    .collect(Collectors.joining(","));
        }
        return null;
    }

    private void check(SettingKey key, int line, String text) {
        boolean good =
                switch (key.kind()) {
                    case TEXT -> !text.isBlank();
                    case SECRET -> text.length() >= SHORTEST_SECRET;
                    case FILE -> text.isEmpty() || Files.isReadable(Path.of(text));
                    case ADDRESS -> text.matches(ADDRESS);
                    case INTEGER -> text.matches("-?[0-9]{1,18}") && key.withinBounds(Long.parseLong(text));
                    case DECIMAL -> isNumber(text) && key.withinBounds(Double.parseDouble(text));
                    case SEEDS ->
                        text.isEmpty()
                                || text.matches("[^/,]+/[^/,]+/" + ADDRESS + "(,[^/,]+/[^/,]+/" + ADDRESS + ")*");
                    case TRACING -> text.matches("none|log");
                    case LEVEL -> text.matches("error|warning|info|debug");
                };
        if (good) {
            values.put(key, text);
        } else {
            String found = key.kind() == SettingKey.Kind.SECRET ? "the secret is too short" : "found '" + text + "'";
            fault(line, key.path(), found, key.expected(), "Correct the value.");
        }
    }

    private static boolean isNumber(String text) {
        return text.matches("-?[0-9]+(\\.[0-9]+)?");
    }

    private void resolveFile(SettingKey secret, SettingKey file) {
        String path = values.get(file);
        if (path == null || path.isEmpty()) {
            return;
        }
        int line = lines.getOrDefault(file, 0);
        try {
            check(secret, line, Files.readString(Path.of(path)).strip());
        } catch (IOException e) {
            fault(line, file.path(), "the file cannot be read", "a readable file", "Check the path and its rights.");
        }
    }

    private void checkMissing() {
        for (SettingKey key : SettingKey.values()) {
            boolean missing = key.defaultValue().isEmpty() && !seen.contains(key.path());
            if (missing) {
                fault(0, key.path(), "missing", key.expected(), "Add it.");
            }
        }
        requireSecret(SettingKey.ROUTER_SECRET, SettingKey.ROUTER_SECRET_FILE);
        requireSecret(SettingKey.OPERATORS_TOKEN, SettingKey.OPERATORS_TOKEN_FILE);
    }

    private void requireSecret(SettingKey secret, SettingKey file) {
        boolean given = seen.contains(secret.path()) || seen.contains(file.path());
        if (!given) {
            fault(0, secret.path(), "missing", secret.expected(), "Add it, or " + file.path() + ".");
        }
    }

    private void checkPair(SettingKey certificate, SettingKey key) {
        boolean one = values.getOrDefault(certificate, "").isEmpty();
        boolean other = values.getOrDefault(key, "").isEmpty();
        if (one != other) {
            SettingKey missing = one ? certificate : key;
            fault(0, missing.path(), "missing", missing.expected(), "Give both the certificate and the key, or none.");
        }
    }

    private static String nearest(String path) {
        String name = path.substring(path.lastIndexOf('.') + 1);
        for (SettingKey key : SettingKey.values()) {
            if (key.path().endsWith("." + name)) {
                return "write " + key.path() + ".";
            }
        }
        return "see 'fuchsiatrail settings keys'.";
    }

    private void fault(int line, String path, String found, String expected, String advice) {
        faults.add(new SettingsFault(line, path, found, expected, advice));
    }
}
