package burn

const (
	pageTemplateText = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Burn report</title>
<style>
body { font: 1rem/1.45 system-ui, sans-serif; margin: 0 auto; max-width: 75rem; padding: 1rem; color: #1b1b1b; background: #fff; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
.charts { display: grid; grid-template-columns: repeat(auto-fit, minmax(min(100%, 21rem), 1fr)); gap: 1rem; }
figure { margin: 0; border: 1px solid #d5d5d5; border-radius: .4rem; padding: .6rem; }
figcaption { font-size: .9rem; margin-bottom: .4rem; overflow-wrap: anywhere; }
svg { width: 100%; height: auto; display: block; }
.table { overflow-x: auto; }
table { border-collapse: collapse; min-width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .3rem .6rem; border-bottom: 1px solid #e2e2e2; text-align: right; white-space: nowrap; }
th:first-child, td:first-child, td.text, th.text { text-align: left; }
</style>
</head>
<body>
<h1>Burn report</h1>
<p>{{date .Time}}. A burn rate of 1 spends exactly the share of bad requests that the goal allows.</p>
<div class="charts">
{{range .Charts}}<figure role="img" aria-label="{{.Caption}}"><figcaption>{{.Caption}}</figcaption>
{{.Image}}</figure>
{{end}}</div>
<h2>Service levels</h2>
<div class="table"><table>
<tr><th>Level</th><th class="text">Of</th><th>Goal</th><th>5 m</th><th>1 h</th><th>6 h</th><th>3 d</th></tr>
{{range .Levels}}<tr><td>{{.Name}}</td><td class="text">{{subject .}}</td><td>{{.Goal}}</td>{{range .Windows}}<td title="{{.Good}} good, {{.Bad}} bad">{{rate .Rate}}</td>{{end}}</tr>
{{end}}</table></div>
<h2>Budgets used up first</h2>
<div class="table"><table>
<tr><th>Budget</th><th>Total</th><th>Spent</th><th>Used</th><th>A day</th><th>Ends</th><th>Overspend</th></tr>
{{range .Budgets}}<tr><td>{{.Account}}/{{.Budget}}</td><td>{{.Total}}</td><td>{{.Spent}}</td><td>{{percent .}}</td><td>{{.Day}}</td><td>{{or .End "-"}}</td><td>{{.Over}}</td></tr>
{{end}}</table></div>
<h2>Accounts</h2>
<div class="table"><table>
<tr><th>Account</th><th class="text">Weighs more</th><th>Requests</th><th>Overspend</th><th>False refusals</th></tr>
{{range .Accounts}}<tr><td>{{.Account}}</td><td class="text">{{.Weigh}}</td><td>{{.Requests}}</td><td>{{.Over}}</td><td>{{.Refusals}}</td></tr>
{{end}}</table></div>
</body>
</html>
`
)
