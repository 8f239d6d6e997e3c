import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON of the platform's interfaces: maps, lists, strings, numbers, booleans and null. */
final class Json {

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readObject(String text) {
        return (Map<String, Object>) read(text);
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(quote(String.valueOf(key)) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    private static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }

    private boolean take(char expected) {
        skipSpace();
        boolean found = position < text.length() && text.charAt(position) == expected;
        position += found ? 1 : 0;
        return found;
    }

    private Object value() {
        if (take('{')) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (!take('}')) {
                take(',');
                String key = (String) value();
                take(':');
                map.put(key, value());
            }
            return map;
        }
        if (take('[')) {
            List<Object> list = new ArrayList<>();
            while (!take(']')) {
                take(',');
                list.add(value());
            }
            return list;
        }
        return take('"') ? string() : literal();
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        while (text.charAt(position) != '"') {
            char character = text.charAt(position++);
            if (character != '\\') {
                result.append(character);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }

    private Object literal() {
        int start = position;
        while (position < text.length() && ",]} \n".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String literal = text.substring(start, position);
        return switch (literal) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> literal.contains(".") ? (Object) Double.parseDouble(literal) : (Object) Long.parseLong(literal);
        };
    }
}
