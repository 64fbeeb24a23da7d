package load

type (
	// MetricComparison is one metric of two runs.
	MetricComparison struct {
		Name string  `json:"name"`
		Old  float64 `json:"old"`
		New  float64 `json:"new"`
	}
)

// Compare returns the metrics of the current run next to those of an earlier one, which may be nil. A metric that only
// one of the runs has is zero in the other.
func Compare(earlier, current *Result) []MetricComparison {
	rows := current.Total.rows()
	if earlier == nil || earlier.Total == nil {
		return rows
	}
	index := make(map[string]int)
	for i, row := range rows {
		index[row.Name] = i
	}
	for _, row := range earlier.Total.rows() {
		if i, ok := index[row.Name]; ok {
			rows[i].Old = row.New
			continue
		}
		rows = append(rows, MetricComparison{Name: row.Name, Old: row.New})
	}
	return rows
}
