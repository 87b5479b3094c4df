//! The timeline as a self-contained HTML page.

use std::collections::BTreeSet;
use std::fmt::Write;

use vg_events::{Event, Level};

use super::Timeline;
use crate::output::utc_micros;

const HEAD: &str = "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n\
    <title>verbenagap time line</title>\n<style>\n\
    body { font: 14px system-ui, sans-serif; margin: 1.5em }\n\
    table { border-collapse: collapse; width: 100% }\n\
    th { text-align: left; position: sticky; top: 0; background: #fff }\n\
    td, th { padding: 2px 8px; border-bottom: 1px solid #ddd; vertical-align: top }\n\
    td { font-family: ui-monospace, monospace; font-size: 12px }\n\
    .error td { background: #fdd } .warn td { background: #fec } .debug td { color: #666 }\n\
    .missing { color: #a00 }\n</style>\n<h1>Time line</h1>\n";

const SCRIPT: &str = "<script>\n\
    const box = document.querySelector('input');\n\
    box.addEventListener('input', () => {\n\
    \x20 for (const row of document.querySelectorAll('tbody tr'))\n\
    \x20   row.hidden = !row.textContent.includes(box.value);\n\
    });\n</script>\n";

/// Renders the page. Every text of an event is escaped.
pub(crate) fn render_page(timeline: &Timeline) -> String {
    let mut page = HEAD.to_owned();
    let sources: BTreeSet<&str> =
        timeline.events.iter().map(|event| event.source.as_str()).collect();
    // Writing to a String can't fail.
    let _ = writeln!(page, "<p>events {}, processes {}</p>", timeline.events.len(), sources.len());
    for missing in &timeline.missing {
        let _ = writeln!(
            page,
            "<p class=\"missing\">missing: {}</p>",
            escape_html(&missing.to_string())
        );
    }
    page.push_str("<p><input placeholder=\"show rows with\" aria-label=\"show rows with\"></p>\n");
    page.push_str("<table>\n<thead><tr><th>time<th>process<th>event<th>details</thead>\n<tbody>\n");
    timeline.events.iter().for_each(|event| row(&mut page, event));
    page.push_str("</tbody>\n</table>\n");
    page.push_str(SCRIPT);
    page
}

fn row(page: &mut String, event: &Event) {
    let class = match event.code.level() {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
    };
    let fields = event.fields.iter().map(|field| format!("{}={}", field.name, field.value));
    let _ = writeln!(
        page,
        "<tr class=\"{class}\"><td>{}<td>{}<td>{}<td>{}",
        utc_micros(event.stamp.micros),
        escape_html(&event.source),
        escape_html(&event.code.to_string()),
        escape_html(&fields.collect::<Vec<_>>().join(" ")),
    );
}

fn escape_html(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c => escaped.push(c),
        }
    }
    escaped
}
