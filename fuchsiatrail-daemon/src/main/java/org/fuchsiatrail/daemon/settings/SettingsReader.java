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

/** Reads and validates a settings file and reports all errors with their lines. */
public final class SettingsReader {

    private static final int MINIMUM_SECRET_LENGTH = 16;
    private static final String ADDRESS_PATTERN = "[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}";

    private final Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
    private final Map<SettingKey, Integer> lines = new EnumMap<>(SettingKey.class);
    private final List<SettingsError> errors = new ArrayList<>();
    private final Set<String> presentPaths = new HashSet<>();

    private SettingsReader() {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the path of the file
     * @return the settings, or all errors
     */
    public static SettingsResult read(Path file) {
        try {
            return read(Files.readString(file));
        } catch (IOException e) {
            return new SettingsResult.Invalid(List.of(new SettingsError(
                    0,
                    file.toString(),
                    "the file cannot be read",
                    "a readable file",
                    "Check the path and its permissions.")));
        }
    }

    /**
     * Reads and validates the content of a settings file.
     *
     * @param yaml the content of the file
     * @return the settings, or all errors
     */
    public static SettingsResult read(String yaml) {
        SettingsReader reader = new SettingsReader();
        reader.parse(yaml);
        reader.readSecretFile(SettingKey.ROUTER_SECRET, SettingKey.ROUTER_SECRET_FILE);
        reader.readSecretFile(SettingKey.OPERATORS_TOKEN, SettingKey.OPERATORS_TOKEN_FILE);
        reader.checkRequiredKeys();
        reader.checkTlsPair(SettingKey.CALLERS_TLS_CERTIFICATE, SettingKey.CALLERS_TLS_KEY);
        reader.checkTlsPair(SettingKey.OPERATORS_TLS_CERTIFICATE, SettingKey.OPERATORS_TLS_KEY);
        return reader.errors.isEmpty()
                ? new SettingsResult.Valid(new Settings(reader.values))
                : new SettingsResult.Invalid(List.copyOf(reader.errors));
    }

    private void parse(String yaml) {
        try {
            Node root = new Yaml(new LoaderOptions()).compose(new StringReader(yaml));
            if (root instanceof MappingNode mapping) {
                readSection("", mapping);
            } else {
                addError(
                        1,
                        "the file",
                        "not a mapping of keys",
                        "sections such as router:",
                        "Start from a file in examples/.");
            }
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            addError(line, "the file", e.getProblem(), "well-formed YAML", "Correct the line; check its indentation.");
        } catch (YAMLException e) {
            addError(0, "the file", e.getMessage(), "well-formed YAML", "Correct the file.");
        }
    }

    private void readSection(String prefix, MappingNode mapping) {
        for (NodeTuple entry : mapping.getValue()) {
            String name = entry.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
            String path = prefix.isEmpty() ? name : prefix + "." + name;
            int line = entry.getKeyNode().getStartMark().getLine() + 1;
            if (!presentPaths.add(path)) {
                addError(line, path, "the key is present twice", "each key at most once", "Remove one of the two.");
            }
            Node value = entry.getValueNode();
            if (value instanceof MappingNode section && isSection(path)) {
                readSection(path, section);
            } else {
                readValue(path, line, value);
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

    private void readValue(String path, int line, Node value) {
        SettingKey key = SettingKey.forPath(path).orElse(null);
        if (key == null) {
            addError(
                    line,
                    path,
                    "the key is unknown",
                    "one of the keys in docs/SETTINGS.md",
                    "Remove it, or " + suggestion(path));
            return;
        }
        lines.put(key, line);
        String text = scalarText(value);
        if (text == null) {
            addError(line, path, "not a single value", key.expected(), "Set a single value.");
            return;
        }
        validate(key, line, text);
    }

    private static String scalarText(Node value) {
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

    private void validate(SettingKey key, int line, String text) {
        boolean valid =
                switch (key.kind()) {
                    case TEXT -> !text.isBlank();
                    case SECRET -> text.length() >= MINIMUM_SECRET_LENGTH;
                    case FILE -> text.isEmpty() || Files.isReadable(Path.of(text));
                    case ADDRESS -> text.matches(ADDRESS_PATTERN);
                    case INTEGER -> text.matches("-?[0-9]{1,18}") && key.withinBounds(Long.parseLong(text));
                    case DECIMAL -> isNumber(text) && key.withinBounds(Double.parseDouble(text));
                    case SEEDS ->
                        text.isEmpty()
                                || text.matches("[^/,]+/[^/,]+/" + ADDRESS_PATTERN + "(,[^/,]+/[^/,]+/"
                                        + ADDRESS_PATTERN + ")*");
                    case TRACING -> text.matches("none|log");
                    case LEVEL -> text.matches("error|warning|info|debug");
                };
        if (valid) {
            values.put(key, text);
        } else {
            String found = key.kind() == SettingKey.Kind.SECRET ? "the secret is too short" : "found '" + text + "'";
            addError(line, key.path(), found, key.expected(), "Correct the value.");
        }
    }

    private static boolean isNumber(String text) {
        return text.matches("-?[0-9]+(\\.[0-9]+)?");
    }

    private void readSecretFile(SettingKey secret, SettingKey file) {
        String path = values.get(file);
        if (path == null || path.isEmpty()) {
            return;
        }
        int line = lines.getOrDefault(file, 0);
        try {
            validate(secret, line, Files.readString(Path.of(path)).strip());
        } catch (IOException e) {
            addError(
                    line,
                    file.path(),
                    "the file cannot be read",
                    "a readable file",
                    "Check the path and its permissions.");
        }
    }

    private void checkRequiredKeys() {
        for (SettingKey key : SettingKey.values()) {
            boolean missing = key.defaultValue().isEmpty() && !presentPaths.contains(key.path());
            if (missing) {
                addError(0, key.path(), "missing", key.expected(), "Add it.");
            }
        }
        requireSecret(SettingKey.ROUTER_SECRET, SettingKey.ROUTER_SECRET_FILE);
        requireSecret(SettingKey.OPERATORS_TOKEN, SettingKey.OPERATORS_TOKEN_FILE);
    }

    private void requireSecret(SettingKey secret, SettingKey file) {
        boolean present = presentPaths.contains(secret.path()) || presentPaths.contains(file.path());
        if (!present) {
            addError(0, secret.path(), "missing", secret.expected(), "Add it, or " + file.path() + ".");
        }
    }

    private void checkTlsPair(SettingKey certificate, SettingKey key) {
        boolean certificateMissing = values.getOrDefault(certificate, "").isEmpty();
        boolean keyMissing = values.getOrDefault(key, "").isEmpty();
        if (certificateMissing != keyMissing) {
            SettingKey missingKey = certificateMissing ? certificate : key;
            addError(
                    0,
                    missingKey.path(),
                    "missing",
                    missingKey.expected(),
                    "Set both the certificate and the key, or neither.");
        }
    }

    private static String suggestion(String path) {
        String name = path.substring(path.lastIndexOf('.') + 1);
        for (SettingKey key : SettingKey.values()) {
            if (key.path().endsWith("." + name)) {
                return "write " + key.path() + ".";
            }
        }
        return "run 'fuchsiatrail settings keys' to list all keys.";
    }

    private void addError(int line, String path, String found, String expected, String advice) {
        errors.add(new SettingsError(line, path, found, expected, advice));
    }
}
